-- A grant is delayed on its link until the lease has moved to another scheduler. The late grant
-- must be dropped, as its epoch is over, and the request is granted once, by the new scheduler.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
local scheduler = holder("p1")
local entry = scheduler % 6 + 1
cut(scheduler, entry)
server("p1", "e1", "live")
local request = ask(entry, {class = "t1", first_ms = 20000})
run(300)
assert(state(request) == "waiting")
kill(scheduler)
run(5000)
heal()
run(500)
local s, _, n = state(request)
assert(s == "granted" and n == 1, s .. " " .. n)
