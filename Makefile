# make | demo | test | lint | sanitize | bench | install | clean

BUILD ?= build
CC = gcc
PREFIX ?= /usr/local
VERSION = 0.1.0

PKGS = glib-2.0 libevent libprotobuf-c libcyaml yaml-0.1 jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
# Only the stand-ins and tests use these.
TOOL_LIBS := $(shell pkg-config --libs libcurl 2>/dev/null)

CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-missing-field-initializers $(SANITIZE)
CPPFLAGS = -D_GNU_SOURCE -DG_LOG_USE_STRUCTURED \
	-DRADISHPIER_VERSION='"$(VERSION)"' -I. $(PKG_CFLAGS)
# The programs can be built without the adapter to the users' platform.
CPPFLAGS += $(if $(wildcard platform/platform.h),-DRADISHPIER_PLATFORM)
LDFLAGS = $(SANITIZE)
LDLIBS = $(PKG_LIBS) -largtable2 -lm
TEST_LIBS = $(shell pkg-config --libs check)

# Packages in link order; each is a directory with one public header.
LIBRARIES = $(patsubst %/platform.h,%,$(wildcard platform/platform.h)) cell runs sched colo entry jobs agent kv net config evac wire obs
PROGRAMS = radishpier radishpier-agent
TOOLS = standin

lib_sources = $(filter-out %_test.c,$(wildcard $(1)/*.c))
object = $(patsubst %.c,$(BUILD)/%.o,$(1))

ARCHIVE = $(BUILD)/libradishpier.a
ARCHIVE_OBJECTS = $(call object,$(foreach l,$(LIBRARIES),$(call lib_sources,$(l))))
PROGRAM_BINARIES = $(foreach p,$(PROGRAMS),$(BUILD)/bin/$(p))
# Every standin/<name>_main.c is a tool; other sources there are shared.
TOOL_MAINS = $(wildcard $(foreach t,$(TOOLS),$(t)/*_main.c) bench/*_main.c)
TOOL_BINARIES = $(patsubst %_main.c,$(BUILD)/bin/%,$(notdir $(TOOL_MAINS)))
TOOL_SHARED = $(call object,$(filter-out %_main.c,$(call lib_sources,standin) \
	$(call lib_sources,bench)))
TEST_SOURCES = $(wildcard */*_test.c)
TEST_BINARIES = $(patsubst %.c,$(BUILD)/%,$(TEST_SOURCES))
SOURCES = $(filter-out wire/rp.pb-c.c,$(wildcard */*.c))
HEADERS = $(filter-out wire/rp.pb-c.h,$(wildcard */*.h))

all: $(PROGRAM_BINARIES) $(TOOL_BINARIES)

programs:
	@$(MAKE) --no-print-directory -j8 $(PROGRAM_BINARIES)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(ARCHIVE): $(ARCHIVE_OBJECTS)
	@rm -f $@
	ar rcs $@ $^

define program_rule
$(BUILD)/bin/$(1): $(call object,$(call lib_sources,$(1))) $(ARCHIVE)
	@mkdir -p $$(@D)
	$(CC) $(LDFLAGS) -o $$@ $$^ $(LDLIBS)
endef
$(foreach p,$(PROGRAMS),$(eval $(call program_rule,$(p))))

define tool_rule
$(BUILD)/bin/$(patsubst %_main.c,%,$(notdir $(1))): $(call object,$(1)) \
		$(TOOL_SHARED) $(ARCHIVE)
	@mkdir -p $$(@D)
	$(CC) $(LDFLAGS) -o $$@ $$^ $(LDLIBS) $(TOOL_LIBS)
endef
$(foreach m,$(TOOL_MAINS),$(eval $(call tool_rule,$(m))))

$(BUILD)/%_test: $(BUILD)/%_test.o $(TOOL_SHARED) $(ARCHIVE)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(TOOL_LIBS) $(TEST_LIBS)

.PRECIOUS: $(BUILD)/%.o
.PHONY: all programs test build-test lint format sanitize bench bench-ci demo install \
	clean packages proto

packages:
	@.ci/install

build-test: all $(TEST_BINARIES)

# A second make reads pkg-config again after packages were installed.
test: packages
	@$(MAKE) --no-print-directory -j4 build-test
	@tests/run $(BUILD)

demo: packages
	@$(MAKE) --no-print-directory -j4 all
	@$(BUILD)/bin/demo $(BUILD)

sanitize: packages
	@CK_TIMEOUT_MULTIPLIER=4 \
		$(MAKE) --no-print-directory test BUILD=build-sanitize \
		SANITIZE="-fsanitize=address,undefined -fno-omit-frame-pointer"

bench: packages
	@$(MAKE) --no-print-directory -j4 all
	@bench/run $(BUILD) all

bench-ci: packages
	@$(MAKE) --no-print-directory -j4 all
	@bench/run $(BUILD) ci

lint: packages
	clang-format --dry-run -Werror $(SOURCES) $(HEADERS)
	@printf '%s\n' $(SOURCES) | xargs -P 8 -I{} \
		clang-tidy --quiet {} -- $(CPPFLAGS) -std=gnu11 2>/dev/null
	cppcheck --quiet --error-exitcode=1 --inline-suppr \
		--enable=warning,performance,portability \
		--suppress=missingInclude --suppress=unknownMacro -I. \
		$(SOURCES)

format:
	clang-format -i $(SOURCES) $(HEADERS)

# Needed only after wire/rp.proto changed.
proto:
	cd wire && protoc-c --c_out=. rp.proto

install: all
	install -D -t $(DESTDIR)$(PREFIX)/bin $(PROGRAM_BINARIES)

clean:
	rm -rf build build-sanitize
