# Short names for what README.md describes.
CONFIG ?= examples/config.json
TYPE ?= Release

.PHONY: build test lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=$(TYPE)
	cmake --build build -j4

test:
	bash .ci/test

lint:
	bash .ci/lint

run: build
	EDGE_CONFIG=$(CONFIG) build/woadridge

clean:
	rm -rf build
