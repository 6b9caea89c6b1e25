; One owner at a time: keepers, stewards and the archive, with what holds where a key is left out. Each process reads its own section; a file may
; hold several. `puffinladder check FILE` reads it. Nothing of it concerns a serving process. docs/ops/owners.md tells how to run them.

(keeper
  (number 1)                          ; stands for this keeper's disk; never used again once that is lost
  (listen "127.0.0.1:18201")
  (folder "/var/lib/puffinladder/keeper")
  (peers "1=127.0.0.1:18201" "2=127.0.0.2:18201" "3=127.0.0.3:18201")   ; all first keepers, this one among them
  (duty (name "gather") (parts 16))   ; any number of duties; (zone "a") in one prefers stewards of that zone
  (term 2s)                           ; how long a grant holds without a word; the same at all keepers, as all that follows
  (drift 0.02)                        ; share by which clocks may run apart
  (stall 10s) (barred 60s)            ; an owner with work that gets nothing done for so long loses it, and is kept off it
  (flaps 3) (flap-span 60s) (flap-rest 30s)   ; who falls silent so often in so long gets nothing for a while
  (panic 5s)                          ; while more fell silent within it than are heard nothing is given
  (calm 2s) (moves 64)                ; loads are levelled after so long without coming or going, so many parts at once
  (tick 30ms)                         ; ten of them without a leader begin an election
  (most-connections 2000))

(steward
  (name "s1") (zone "default")
  (folder "/var/lib/puffinladder/steward")    ; for the number of its lives: must not be lost
  (keepers "1=127.0.0.1:18201" "2=127.0.0.2:18201" "3=127.0.0.3:18201")
  ; (holds "name" ...) names duties that it holds and does nothing for
  (gather
    (traces "/var/lib/puffinladder/traces")   ; holds a folder of traces for each server
    (archive "127.0.0.9:18211")
    (parts 16)                        ; as the keepers declare it
    (every 1s)                        ; between looks for new files
    (step 500ms)))                    ; longest step

(archive
  (listen "127.0.0.9:18211")
  (folder "/var/lib/puffinladder/archive")
  (most-bytes 10GB)                   ; past it the oldest whole files go
  (most-connections 500))

; Inside (steward ...), for servers that report:
;   (listen "127.0.0.1:18221")
;   (quota (parts 1) (servers 300) (span 2s) (customer (name "k001") (rate 120)))    ; txns a second over the fleet
;   (turns (most 10) (zone-share 0.1) (span 30s) (silent 5s))
