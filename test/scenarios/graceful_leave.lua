-- An instance that holds a lease shuts down gracefully. The lease must move within about a second,
-- requests are still granted, and the request that runs at the leaving instance completes.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
server("p1", "e1", "live")
local scheduler = holder("p1")
local running = ask(scheduler, {class = "t2"})
run(50)
leave(scheduler)
run(1200)
assert(leave(scheduler), "the instance still holds the lease")
local request = ask(scheduler % 6 + 1, {class = "t2"})
run(100)
assert(state(request) == "granted")
local s, _, n = state(running)
assert(s == "granted" and n == 1)
done(running, "whole")
