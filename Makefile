# The commands of the README. Meson does the building; this file only names
# the usual steps.

BUILD ?= build

.PHONY: setup build demo test test-sanitize lint format bench clean

setup:
	./tools/install-packages

build:
	test -f $(BUILD)/build.ninja || meson setup $(BUILD) --buildtype=debugoptimized
	ninja -C $(BUILD)

demo: setup build
	./tests/e2e/demo-forward $(BUILD)
	./tests/e2e/demo $(BUILD)

test: build
	./tests/run $(BUILD)

test-sanitize:
	test -f build-sanitize/build.ninja || meson setup build-sanitize -Db_sanitize=address,undefined -Db_lundef=false -Dc_args="-fsanitize=float-cast-overflow -fno-sanitize-recover=all" --buildtype=debug
	ninja -C build-sanitize
	MODELS=no ./tests/run build-sanitize

lint: build
	./tools/lint $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

bench: build
	./tools/bench $(BUILD)

clean:
	rm -rf build build-sanitize
