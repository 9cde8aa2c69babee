-- An entry refuses a request and dies. An auditor must find the record at another instance, with
-- the rule that decided and the fact that the request did not run, although the leader has died
-- too.
cluster{}
change(1, "a", 0, catalogue{concurrent = 1})
run(3000)
server("p1", "e1", "live")
ask(5, {class = "t3"})
run(50)
local request = ask(5, {class = "t3"})
run(50)
local s, reason = state(request)
assert(s == "refused" and reason == "limit-concurrent", s .. " " .. reason)
note(5, "req-1")
run(2500)
kill(5)
kill(leader())
run(4000)
local query = find(6, "refusal", "req-1")
run(1000)
local status, _, text = result(query)
assert(status == "success" and text:find('"ran":"no"') and text:find('"rule":"the rule"'),
       "the record of the refusal is lost or incomplete")
