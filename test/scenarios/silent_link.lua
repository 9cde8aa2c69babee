-- A connection between an entry and the scheduler's instance goes silent for good while requests
-- are under way. The link is replaced, both ends start over, and each request is granted once.
cluster{}
change(1, "a", 0, catalogue{window = 2})
run(3000)
server("p1", "e1", "live")
local h = holder("p1")
local e = h % 6 + 1
local asked = {}
for i = 1, 2 do asked[i] = ask(e, {class = "t2"}) end
run(100)
cut(h, e); cut(e, h)
done(asked[1], "whole")
local waiting = ask(e, {class = "t1", first_ms = 20000})
run(6000)
heal()
run(1000)
progress(asked[2], 50) -- the server is not silent: its news could not get through
run(100)
done(asked[2], "whole")
run(500)
local s, _, n = state(waiting)
assert(s == "granted" and n == 1, "after the link came back the request is " .. s)
local _, _, first = state(asked[2])
assert(first == 1, "granted twice")
