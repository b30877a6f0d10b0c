# The README's commands. `make demo` and `make test` install what is missing.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build test demo format format-check lint measure soak fault-soak capacity

deps:
	@tools/install_deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD)-configure.log 2>&1 || { cat $(BUILD)-configure.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@tools/demo.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cc' | xargs clang-format -i

format-check:
	@git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror

lint: build
	@tools/lint.sh $(BUILD)

SEEDS ?= 10000
SEED ?= 1
soak: build
	@$(BUILD)/tests/soak --seeds=$(SEEDS) --jobs=$(JOBS)

fault-soak: build
	@$(BUILD)/tests/fault_soak $(BUILD)/bin/umbertraild --seconds=60 --seed=$(SEED)

capacity: build
	@tools/capacity/run.sh $(BUILD)

measure: build
	@$(BUILD)/tools/measure_routing
