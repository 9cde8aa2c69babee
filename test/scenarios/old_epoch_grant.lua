-- A grant is under way, very slowly, when the lease moves. It arrives after its epoch ended and is
-- dropped; the request is granted by the new scheduler, once.
cluster{}
change(1, "a", 0, catalogue{})
run(3000)
local h = holder("p1")
local entry = h % 6 + 1
cut(h, entry)
server("p1", "e1", "live")
local r = ask(entry, {class = "t1", first_ms = 20000})
run(300)
assert(state(r) == "waiting")
kill(h)
run(5000)
heal()
run(500)
local s, _, n = state(r)
assert(s == "granted" and n == 1, s .. " " .. n)
