# Entry points for people and CI. CMake and Ninja do the building.

JOBS ?= $(shell nproc)
RELEASE := build/release
ADDRESS := build/address
THREAD := build/thread

PACKAGES := g++ cmake ninja-build ccache python3 libboost-dev libboost-log-dev libboost-system-dev \
    libboost-thread-dev libcereal-dev prometheus-cpp-dev libyaml-cpp-dev nlohmann-json3-dev \
    libxxhash-dev catch2 librapidcheck-dev clang-tidy-19 clang-format-19

.PHONY: check packages build format format-check lint test test-address test-thread demo measure \
    slopes

# Options of tools/cluster for demo and measure, such as: make demo CLUSTER_FLAGS="--control 3".
CLUSTER_FLAGS ?=

## check: installs the packages, builds, checks format and lint, runs all tests.
check: packages
	$(MAKE) format-check
	$(MAKE) build
	$(MAKE) lint
	$(MAKE) test

packages:
	tools/install-packages $(PACKAGES)

build:
	cmake -S . -B $(RELEASE) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DCAMPHOR_WARNINGS_AS_ERRORS=ON >/dev/null
	cmake --build $(RELEASE) -j $(JOBS)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format-19 -i

format-check:
	git ls-files '*.h' '*.cpp' | xargs clang-format-19 --dry-run --Werror

lint:
	tools/check-core-includes
	run-clang-tidy-19 -quiet -j $(JOBS) -p $(RELEASE) -extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
	    -extra-arg=-Wno-enum-constexpr-conversion -extra-arg=-Wno-error '^$(CURDIR)/(src|programs|platform|test|tutorial)/.*\.cpp$$' \
	    > build/lint.log 2>&1 || { grep -E 'error:|warning:' build/lint.log | sort -u; exit 1; }

test: test-address test-thread

test-address:
	cmake -S . -B $(ADDRESS) -G Ninja -DCAMPHOR_SANITIZE=address >/dev/null
	cmake --build $(ADDRESS) -j $(JOBS)
	cd $(ADDRESS) && ctest --output-on-failure

test-thread:
	cmake -S . -B $(THREAD) -G Ninja -DCAMPHOR_SANITIZE=thread >/dev/null
	cmake --build $(THREAD) -j $(JOBS) --target camphor_tests
	cd $(THREAD) && ctest --output-on-failure -R threads

## demo: 8 entries, 50 stand-in targets, a mixed load with a flood; checks the invariants.
demo: packages build
	tools/cluster --deployment burnished-vane --name demo --scenario scenarios/demo.yaml \
	    --report build/demo/report.json $(CLUSTER_FLAGS)

## measure: both deployments under load, floods and faults, compared with the baseline policies.
measure: packages build
	tools/measure $(foreach flag,$(CLUSTER_FLAGS),--flag=$(flag))

## slopes: how figures grow with the number of entries, targets, queued tasks and claims.
slopes: packages build
	tools/slopes
