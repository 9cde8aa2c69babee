-- An instance that holds a lease shuts down gracefully: the lease moves within a second, requests
-- keep being granted, and the one under way at the leaving instance ends whole.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
local h = holder("p1")
local own = ask(h, {class = "t2"})
run(50)
leave(h)
run(1200)
assert(leave(h), "the lease is still here")
local r = ask(h % 6 + 1, {class = "t2"})
run(100)
assert(state(r) == "granted")
local s, _, n = state(own)
assert(s == "granted" and n == 1)
done(own, "whole")
