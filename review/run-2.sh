#!/usr/bin/env bash
# Runs a program of review/standin-2 in the repository's root: NAME RECORD. All processes end with it.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
[ -d target/review-2 ] && [ -f platform/target/gateway.jsa ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
player=

# Ends what the player has left behind, such as after it was killed itself.
end() {
    trap '' INT TERM HUP
    [ -z "$player" ] || { kill "$player" && wait "$player"; } 2>/dev/null
    if [ -f "$folder/processes" ]; then
        while read -r process; do
            if tr '\0' ' ' <"/proc/$process/cmdline" | grep -q PlatformMain; then
                kill -KILL "$process"
            fi
        done <"$folder/processes" 2>/dev/null
    fi
    [ -n "${KEEP:-}" ] && echo "logs in $folder" || rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP

# If this script itself is killed, the time limit ends the player, and the player its processes.
REVIEW_FOLDER=$folder timeout -k 5 118 java -Xmx512m --add-modules jdk.incubator.foreign \
    --enable-native-access=ALL-UNNAMED --add-opens java.base/sun.nio.ch=ALL-UNNAMED \
    -cp target/review-2 "review.$1" "$2" &
player=$!
wait "$player"
code=$?
player=
[ $code -le 1 ] || code=2
exit $code
