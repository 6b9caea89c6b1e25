; The size to design for, as the operators gave it, and what we had to assume beside it (marked so). `puffinladder capacity plan`
; works out from this and from docs/capacity/points.json what is carried; docs/CAPACITY.md is the page. KB and MB are of 1024.

(fleet
  (servers 730)
  (callers 9100)                      ; proxies, as the control services see them
  (services 230)                      ; that the callers belong to
  (requests 110000)                   ; a second over the fleet, at the peak
  (routes 2300)
  (tenants 15000)
  (regions 2)
  (zones 6)                           ; over all regions
  (parts 16))                         ; assumed: parts of a duty, as deploy/owners.example.scm has it

(changes                              ; of configuration
  (a-day 1900)
  (in-force 6s)                       ; everywhere
  (busiest-minute 0.02))              ; assumed: share of a day's that falls into its busiest minute

(added (p99 6.5ms))                   ; to a request

(server                               ; what a server may spend on control
  (cpu 0.038)                         ; cores
  (memory 128MB)
  (bytes 12KB))                       ; a second, sent and received

; The machines for control. Their size and who stands where is our proposal: two in each region, each in a zone of its own.
; Keepers: three, two of them in region a. Region a decides in a cut; see docs/CAPACITY.md.
(machine (name "a1") (region "a") (zone "a1") (cores 8) (memory 24GB)
  (runs "control" "config" "keeper" "steward-quota" "steward-turns" "steward-gather"))
(machine (name "a2") (region "a") (zone "a2") (cores 8) (memory 24GB)
  (runs "control" "config" "keeper" "steward-quota" "steward-turns" "steward-gather"))
(machine (name "b1") (region "b") (zone "b1") (cores 8) (memory 24GB)
  (runs "control" "config" "keeper" "steward-quota" "steward-turns" "steward-gather"))
(machine (name "b2") (region "b") (zone "b2") (cores 8) (memory 24GB)
  (runs "control" "config" "steward-quota" "steward-turns" "steward-gather" "archive"))

; What a role's processes part among them; all else each of them has whole. A server reports to every control service and
; every steward, a caller asks one control service.
(role (name "server") (shares "requests"))
(role (name "control") (shares "proxies"))
(role (name "steward-gather") (shares "servers" "requests" "parts"))
(role (name "module") (shares "requests"))

(events
  (failures-a-day 44)                 ; machines
  (restarts-a-day 2300)               ; restarted or replaced
  (busiest-minute 0.02)               ; assumed: share of a day's that falls into its busiest minute, and all of it at once
  (rack 40)                           ; assumed: servers behind one switch
  (racks-a-year 52) (zones-a-year 3) (cuts-a-year 6)   ; a few, several: assumed
  (cut 5m)                            ; assumed: regions lose each other for minutes
  (returning 2s))                     ; assumed: who comes back costs as much as so long of its steady state, on top
