-- The link between an entry and the scheduler's instance delivers nothing any more while requests
-- are active. The link must be replaced, both ends resynchronise, and no request is granted twice.
cluster{}
change(1, "a", 0, catalogue{window = 2})
run(3000)
server("p1", "e1", "live")
local scheduler = holder("p1")
local entry = scheduler % 6 + 1
local asked = {}
for i = 1, 2 do asked[i] = ask(entry, {class = "t2"}) end
run(100)
cut(scheduler, entry); cut(entry, scheduler)
done(asked[1], "whole")
local waiting = ask(entry, {class = "t1", first_ms = 20000})
run(6000)
heal()
run(1000)
progress(asked[2], 50) -- the server has answered meanwhile, but this could not be reported
run(100)
done(asked[2], "whole")
run(500)
local s, _, n = state(waiting)
assert(s == "granted" and n == 1, "after the link came back the request is " .. s)
local _, _, first = state(asked[2])
assert(first == 1, "granted twice")
