/* Loaded into a server process by LD_PRELOAD: steps its wall clock and fails its system calls, in ways that Linux
 * documents. The file named by SHIM_CONTROL holds a struct control, which a test changes while the process runs. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

struct control {
    int64_t clock_step_ms;
    /* One in this many calls fails or is cut short; 0 for none. */
    uint32_t fail_one_in;
    uint32_t seed;
    /* If not 0: only accepts fail, with this error. */
    uint32_t accept_error;
};

static struct control none;
static volatile struct control *control = &none;
static uint32_t calls;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("SHIM_CONTROL");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *shared = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    if (shared != MAP_FAILED)
        control = shared;
    close(file);
}

/* Returns a number from 1 if the present call shall fail, else 0. */
static uint32_t fault(void) {
    uint32_t one_in = control->fail_one_in;
    if (!one_in || control->accept_error)
        return 0;
    uint32_t x = __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED) * 2654435761u + control->seed;
    x ^= x >> 16;
    x *= 0x85ebca6bu;
    x ^= x >> 13;
    return x % one_in ? 0 : 1 + (x / one_in) % 1000;
}

static int fail(const int *errors, uint32_t count, uint32_t number) {
    errno = errors[number % count];
    return -1;
}

int clock_gettime(clockid_t id, struct timespec *now) {
    int result = syscall(SYS_clock_gettime, id, now);
    if (result == 0 && id == CLOCK_REALTIME)
        now->tv_sec += control->clock_step_ms / 1000;
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    int only_error = control->accept_error;
    if (only_error)
        return fail(&only_error, 1, 0);
    uint32_t number = fault();
    return number ? fail(errors, 4, number) : syscall(SYS_accept4, fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH};
    uint32_t number = fault();
    return number ? fail(errors, 3, number) : syscall(SYS_connect, fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    uint32_t number = fault();
    return number ? fail(errors, 2, number) : syscall(SYS_socket, domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    static const int errors[] = {EINTR};
    uint32_t number = fault();
    return number ? fail(errors, 1, number) : syscall(SYS_epoll_pwait, fd, events, most, timeout, NULL, 8);
}

/* Returns how many of the bytes a read or write may move, or -1 if it shall be interrupted. */
static ssize_t allowed(size_t length) {
    static const int errors[] = {EINTR};
    uint32_t number = fault();
    if (number % 4 == 1)
        return fail(errors, 1, number);
    return number && length ? 1 + number % length : length;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    ssize_t most = allowed(length);
    return most < 0 ? -1 : syscall(SYS_recvfrom, fd, bytes, most, flags, NULL, NULL);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    ssize_t most = allowed(length);
    return most < 0 ? -1 : syscall(SYS_sendto, fd, bytes, most, flags, NULL, 0);
}
