-- A booking's entry dies after its claim was durable; whether it had dispatched nobody can tell. The
-- caller asks again at another instance: first "still running", and once the entry is back as
-- another process "outcome unknown"; never a second claim.
cluster{}
change(1, "a", 0, catalogue{})
run(2000)
local t = claim(4, "o1/visit-17", "d1", "req-a")
run(500)
assert(result(t) == "success")
kill(4)
local again = claim(5, "o1/visit-17", "d1", "req-b")
run(500)
assert(result(again):find("conflict"), "a second claim was granted")
assert(restart(4))
run(3000)
local later = claim(6, "o1/visit-17", "d1", "req-c")
run(500)
assert(result(later):find("has ended"), "not unknown: " .. result(later))
local other = claim(6, "o1/visit-17", "other content", "req-d")
run(500)
assert(result(other):find("invalid"), "the same key with other content passed")
