-- Two operators submit changes of the same base revision at the same time at two instances.
-- Exactly one is accepted; the other operator is told which change was accepted instead.
cluster{}
change(1, "first", 0, catalogue{mark = 1})
run(2000)
local a = change(2, "left", 1, catalogue{mark = 2})
local b = change(5, "right", 1, catalogue{mark = 3})
run(2000)
local sa, ra, ta = result(a)
local sb, rb, tb = result(b)
assert((sa == "success") ~= (sb == "success"), "not exactly one was accepted")
local loser, winner = tb, "left"
if sb == "success" then loser, winner = ta, "right" end
assert(loser:find("change " .. winner, 1, true),
       "the refusal does not name the accepted change: " .. loser)
for i = 1, 6 do assert(revision(i) == 2) end
