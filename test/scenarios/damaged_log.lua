-- A bit flips in the middle of a voter's log. The voter must refuse to start rather than forget a
-- vote or a log entry. A damaged last record may be a torn write that was never acknowledged: it
-- is dropped, and the voter starts.
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
assert(restart(3), "a torn last record kept the voter from starting")
run(4000)
assert(member(3) and revision(3) == 10)
