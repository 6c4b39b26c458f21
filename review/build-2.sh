#!/bin/sh
# Builds what the cases 6 to 10 start beside the program of the deploy file. Their stand-ins are plain scripts in
# review/lib-2, which need no build; this checks that the program and the scripts can be loaded.
set -e
cd "$(dirname "$0")/.."
test -f target/radishrouter-platform.mjs
for script in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
    if [ -f "$script" ]; then
        node --check "$script"
    fi
done
