-- An entry dies after its claim on a booking was stored, so nobody knows whether the booking was
-- dispatched. A caller that repeats it elsewhere is told first that it is still running and, once
-- the entry has restarted, that the outcome is unknown. The claim must never be granted again.
cluster{}
change(1, "a", 0, catalogue{})
run(2000)
local first = claim(4, "o1/visit-17", "d1", "req-a")
run(500)
assert(result(first) == "success")
kill(4)
local again = claim(5, "o1/visit-17", "d1", "req-b")
run(500)
assert(result(again):find("conflict"), "a second claim was granted")
assert(restart(4))
run(3000)
local later = claim(6, "o1/visit-17", "d1", "req-c")
run(500)
assert(result(later):find("has ended"), "the outcome is not reported as unknown: " .. result(later))
local other = claim(6, "o1/visit-17", "other content", "req-d")
run(500)
assert(result(other):find("invalid"), "the same key with other content was accepted")
