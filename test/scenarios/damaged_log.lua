-- A bit flips in the middle of a voter's log. It stops with an error instead of forgetting a vote
-- or an entry; a torn last record, which nobody relied on, is cut and the voter goes on.
cluster{}
for i = 1, 10 do
  change(1, "c" .. i, i - 1, catalogue{mark = i})
  run(500)
end
run(1000)
kill(2)
assert(damage(2, "log", file_size(2, "log") // 2))
local ok, why = restart(2)
assert(not ok and why == "stored data is damaged", tostring(why))
assert(damage(2, "log", file_size(2, "log") // 2))
kill(3)
assert(damage(3, "log", file_size(3, "log") - 1))
assert(restart(3), "a torn tail stopped the voter")
run(4000)
assert(member(3) and revision(3) == 10)
