# Each goal installs what is missing first; see README.md.
BUILD ?= build
SOURCES = $(filter-out src/msg.h src/msg_xdr.c src/meshmsg.h src/meshmsg_xdr.c,$(wildcard src/*.[ch] net/*.[ch] node/*.[ch] platform/*.[ch] daemon/*.[ch] cli/*.[ch] standin/*.[ch] bench/*.[ch] test/*.[ch]))

all: deps
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@$(MAKE) --no-print-directory -C $(BUILD) -j$$(nproc) | grep -v 'Built target\|Consolidate' || true
	@test -x $(BUILD)/foxtailgraded

deps:
	@scripts/deps.sh

demo: all
	@BUILD=$(BUILD) scripts/demo.sh

check: all
	@BUILD=$(BUILD) scripts/check.sh

bench: all
	@$(BUILD)/foxtailbench report

format: deps
	@clang-format -i $(SOURCES)

format-check: deps
	@clang-format --dry-run -Werror $(SOURCES)

lint: all
	@scripts/lint.sh $(BUILD)

generate: deps
	cd src && rm -f msg.h msg_xdr.c && rpcgen -N -h -o msg.h msg.x && rpcgen -N -c -o msg_xdr.c msg.x
	cd src && rm -f meshmsg.h meshmsg_xdr.c && rpcgen -N -h -o meshmsg.h meshmsg.x && rpcgen -N -c -o meshmsg_xdr.c meshmsg.x

clean:
	rm -rf $(BUILD) build-address build-thread

.PHONY: all deps demo check bench format format-check lint generate clean
