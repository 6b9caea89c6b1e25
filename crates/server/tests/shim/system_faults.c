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
#include <sys/stat.h>
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
    /* One in this many reads and writes on a connection that the process has opened finds it broken; 0 for none. */
    uint32_t break_one_in;
    /* If not 0: every write to a regular file, and its sync, fails with this error. */
    uint32_t disk_error;
};

#define MAX_DESCRIPTORS 4096
static volatile char opened_by_process[MAX_DESCRIPTORS];

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

/* Returns a number from 1 if the present call, one in one_in, shall fail, else 0. */
static uint32_t draw(uint32_t one_in) {
    if (!one_in || control->accept_error)
        return 0;
    uint32_t x = __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED) * 2654435761u + control->seed;
    x ^= x >> 16;
    x *= 0x85ebca6bu;
    x ^= x >> 13;
    return x % one_in ? 0 : 1 + (x / one_in) % 1000;
}

static uint32_t fault(void) { return draw(control->fail_one_in); }

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
    if (number)
        return fail(errors, 4, number);
    int accepted = syscall(SYS_accept4, fd, address, length, flags);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS)
        opened_by_process[accepted] = 0;
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH};
    uint32_t number = fault();
    if (number)
        return fail(errors, 3, number);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        opened_by_process[fd] = 1;
    return syscall(SYS_connect, fd, address, length);
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

/* Breaks a connection that the process has opened, if it is its turn. Returns whether it is broken. */
static int breaks(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
    if (fd < 0 || fd >= MAX_DESCRIPTORS || !opened_by_process[fd])
        return 0;
    uint32_t number = draw(control->break_one_in);
    if (!number)
        return 0;
    syscall(SYS_shutdown, fd, SHUT_RDWR);
    fail(errors, 2, number);
    return 1;
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    if (breaks(fd))
        return -1;
    ssize_t most = allowed(length);
    return most < 0 ? -1 : syscall(SYS_recvfrom, fd, bytes, most, flags, NULL, NULL);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    if (breaks(fd))
        return -1;
    ssize_t most = allowed(length);
    return most < 0 ? -1 : syscall(SYS_sendto, fd, bytes, most, flags, NULL, 0);
}

/* Returns whether the disk of this file fails at present. */
static int disk_fails(int fd) {
    struct stat status;
    int error = control->disk_error;
    if (!error || fstat(fd, &status) != 0 || !S_ISREG(status.st_mode))
        return 0;
    errno = error;
    return 1;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    return disk_fails(fd) ? -1 : syscall(SYS_write, fd, bytes, length);
}

ssize_t pwrite64(int fd, const void *bytes, size_t length, off64_t offset) {
    return disk_fails(fd) ? -1 : syscall(SYS_pwrite64, fd, bytes, length, offset);
}

int fsync(int fd) { return disk_fails(fd) ? -1 : syscall(SYS_fsync, fd); }

int fdatasync(int fd) { return disk_fails(fd) ? -1 : syscall(SYS_fdatasync, fd); }
