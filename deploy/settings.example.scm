; Our own settings, all with what holds where they are left out. `puffinladder check FILE` reads them and prints what
; holds; a server takes them by `puffinladder serve --settings FILE` or from PUFFINLADDER_SETTINGS. The platform's
; own configuration stays JSON, see README.md.

(log
  (format text)                       ; text for people, json for programs
  (filter "info,may=warn"))           ; levels by part; RUST_LOG wins

; A trace of every txn and why it was declined: docs/ops/trace.md. Off unless it stands here.
(trace
  (folder "/var/lib/puffinladder/traces")
  (block-rows 4096)                   ; rows of a block, and how long one waits to be full:
  (block-span 5s)                     ;   a kill loses so much at the most
  (file-bytes 64MB)                   ; a file is sealed past this size
  (file-span 1h)                      ;   or past this age
  (most-bytes 1GB)                    ; of all files in the folder; the oldest go first
  (most-files 200)
  (sample 1))                         ; one txn of so many, all tries of a key alike; 1 is all
; (key-file "/etc/puffinladder/trace.key") inside (trace ...) gives 64 hex digits by which names and keys are hashed.
; With the same key on all servers a txn's tries can be joined across them; without, it is new with every start.
