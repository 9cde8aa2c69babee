-- A caller repeats a booking that was answered. It must be told so at any instance, also after an
-- election and restarts. A claim that its entry released without a dispatch can be taken again.
cluster{}
change(1, "a", 0, catalogue{})
run(2000)
claim(4, "o1/k", "d", "req-a")
run(500)
claim_end(4, "o1/k", "req-a", "answered")
claim(5, "o1/free", "d", "req-x")
run(500)
claim_end(5, "o1/free", "req-x", "released")
run(500)
kill(leader())
run(4000)
for i = 1, 3 do kill(i) end
for i = 1, 3 do assert(restart(i)) end
run(4000)
local answered = claim(6, "o1/k", "d", "req-b")
local released = claim(6, "o1/free", "d", "req-y")
run(1000)
local status, _, text = result(answered)
assert(status == "already done" and text == "req-a", tostring(status))
assert(result(released) == "success")
