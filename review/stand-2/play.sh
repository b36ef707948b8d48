#!/bin/sh
# Plays the case PROGRAM in the folder review/N: play.sh N PROGRAM.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/release/$2"
[ -x "$program" ] && [ -x target/release/endivefork-platform ] || {
    echo "build first: the deploy file's build, then review/build-2.sh"
    exit 2
}
CASE_TMP=$(mktemp -d) || exit 2
RECORD="review/$1/record.txt"
export CASE_TMP RECORD
# Ends what the case has started, by its ids, however the case ended.
finish() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            [ -r "/proc/$pid/cmdline" ] || continue
            if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -qE "endivefork-platform|review-2/release"; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$CASE_TMP/pids"
    fi
    rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -s KILL 110 "$program"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
