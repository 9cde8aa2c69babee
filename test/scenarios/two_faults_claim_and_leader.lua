-- The leader dies while a claim's answer is under way, and the entry's link to the next leader is
-- cut one way. The entry asks again until a majority has spoken; the claim is granted once, in its
-- own name, and a rival at another instance is not granted.
cluster{seed = 3}
change(1, "a", 0, catalogue{})
run(2000)
local old = leader()
local t = claim(5, "o1/k", "d", "req-a")
run(1)
kill(old)
local rival = claim(6, "o1/k", "d", "req-b")
cut(old % 3 + 1, 5)
run(4000)
heal()
run(6000)
local a, b = result(t), result(rival)
assert((a == "success") ~= (b == "success"), tostring(a) .. " and " .. tostring(b))
