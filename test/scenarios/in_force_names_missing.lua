-- An operator waits for a change to be in force while one instance is cut off. The change must not
-- be reported in force as long as that instance may accept requests under the old catalogue. Once
-- it may not, the change is in force; when the instance is back, it has the change.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(5000)
isolate(6)
change(2, "b", 1, catalogue{mark = 2})
run(1000)
local query = find(2, "in_force", "2")
run(300)
local status, _, text = result(query)
assert(status == "success" and text:find('"in_force":false') and text:find("%[6%]"), text)
assert(fresh(6), "the test is too slow to show anything")
run(4000)
assert(not fresh(6))
query = find(2, "in_force", "2")
run(300)
_, _, text = result(query)
assert(text:find('"in_force":true'), text)
heal()
run(2000)
assert(revision(6) == 2 and fresh(6))
