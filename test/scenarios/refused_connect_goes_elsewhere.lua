-- A server refuses the connection: nothing ran, so the request may go elsewhere, and the server
-- that refused gets nothing more until it is probed.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
server("p1", "e2", "live")
local r = ask(5, {class = "t1"})
run(50)
local s, bad = state(r)
assert(s == "granted")
ask_again(r)
run(50)
local s2, where = state(r)
assert(s2 == "granted" and where ~= bad, "went to the same server again")
