
front-routesÃ
all*b
6
/2
	x-productj
cheap2

x-customerj
kJ
°:÷R

retry-after1rdrop cheap of kU

/J
serversJ?
5connect-failure,refused-stream,retriable-status-codes:÷ron