-- A server refuses a connection. Nothing has run, so the request is submitted again and must go to
-- another server.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
server("p1", "e2", "live")
local request = ask(5, {class = "t1"})
run(50)
local s, refusing = state(request)
assert(s == "granted")
ask_again(request)
run(50)
local s2, where = state(request)
assert(s2 == "granted" and where ~= refusing, "the request went to the same server again")
