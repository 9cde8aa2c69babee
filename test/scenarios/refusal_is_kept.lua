-- A request is refused and its entry dies. An auditor asks another instance why: the record was on
-- the voters' disks within about a second, and says that it did not run and which rule decided.
cluster{}
change(1, "a", 0, catalogue{concurrent = 1})
run(3000)
server("p1", "e1", "live")
ask(5, {class = "t3"})
run(50)
local r = ask(5, {class = "t3"})
run(50)
local s, reason = state(r)
assert(s == "refused" and reason == "limit-concurrent", s .. " " .. reason)
note(5, "req-1")
run(2500)
kill(5)
kill(leader())
run(4000)
local f = find(6, "refusal", "req-1")
run(1000)
local status, _, text = result(f)
assert(status == "success" and text:find('"ran":"no"') and text:find('"rule":"the rule"'),
       "the record died with its entry")
