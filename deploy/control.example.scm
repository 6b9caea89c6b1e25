; Settings of a control service, `puffinladder control --settings FILE`, with what holds where they are left out.
; docs/ops/control.md tells what to do with it. Servers publish to it by (publish ...), at the end.

(log (format text) (filter "info"))

(control
  (xds "127.0.0.1:18000")             ; proxies, gRPC; needed
  (reports "127.0.0.1:18001")         ; servers, lines of JSON; needed
  (debug "127.0.0.1:18002")           ; people and monitors, HTTP; off if left out
  (bound 2s)                          ; no proxy routes by a decision older than this
  (heartbeat 500ms)                   ; leases are renewed so often: half of the bound at the most
  (plan-every 250ms)
  (fresh 1s) (gone 4s)                ; a silent server counts in full up to the one, not at all from the other
  (panic 0.5)                         ; share of servers silent at once from which the reports are suspected
  (subset 100)                        ; servers of a zone that a proxy is told at the least
  (most-proxies 10000) (most-servers 20000)
  (snapshot "/var/lib/puffinladder/control.json"))
; (tls (certificate "cert.pem") (key "key.pem") (clients "ca.pem")) inside (control ...): clients makes proxies show theirs.

; In the settings of each server:
; (publish (control "127.0.0.1:18001") (zone "a") (every 250ms))
