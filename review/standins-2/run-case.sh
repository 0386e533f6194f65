#!/bin/bash
# Runs one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
root=$PWD
folder=$2
stand_ins=target/review-2/stand-ins
if [ ! -x "$stand_ins" ]; then
    echo "could not run: $stand_ins is missing, run review/build-2.sh"
    exit 2
fi
"$stand_ins" "$1" "$root" "$folder" &
child=$!
# The stand-ins end the controllers that they started. If this script is stopped, they are ended here, by their ids.
stop() {
    kill "$child" 2>/dev/null
    wait "$child" 2>/dev/null
    for id in $(sed -n 's/^.* starts, process \([0-9]*\)$/\1/p' "$folder/record.txt"); do
        if tr '\0' ' ' <"/proc/$id/cmdline" 2>/dev/null | grep -q 'saltpitch-review-'; then
            kill -9 "$id" 2>/dev/null
        fi
    done
    rm -rf "${TMPDIR:-/tmp}/saltpitch-review-$child-"*
    exit 2
}
trap stop TERM INT HUP
wait "$child"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
