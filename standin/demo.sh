#!/bin/sh
# Runs stand-ins and three instances and sends them requests of both
# deployments. Exits 0 only if every response is complete.
set -eu

bin=$1
dir=$(mktemp -d)
pids=
stop() {
	for p in $pids; do kill -TERM "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT INT TERM

# await FILE PATTERN waits until a line of FILE matches.
await() {
	n=0
	until grep -q "$2" "$1" 2>/dev/null; do
		n=$((n + 1))
		[ "$n" -gt 200 ] && { echo "demo: no $2 in $1" >&2; cat "$1" >&2; exit 1; }
		sleep 0.1
	done
}

"$bin/standin" serve >"$dir/standin" 2>&1 &
pids=$!
await "$dir/standin" '^ready'
platform=$(sed -n 's/^platform //p' "$dir/standin")

entries= admins= list=
for name in sierra-a-1 sierra-a-2 costa-a-1; do
	centre=${name%-*}
	"$bin/wasabid" -instance "$name" -centre "$centre" -platform "$platform" \
		-listen 127.0.0.1:0 -peer-listen 127.0.0.1:0 -admin-listen 127.0.0.1:0 \
		-drain-notice 200ms >"$dir/$name" 2>&1 &
	pids="$pids $!"
	await "$dir/$name" '"app: listening"'
	field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*app: listening.*/\1/p" "$dir/$name"; }
	entries="$entries,http://$(field callers)"
	admins="$admins,http://$(field admin)"
	list="$list $name=$centre=$(field peers)"
done
# shellcheck disable=SC2086
"$bin/standin" list -platform "$platform" $list

status=0
"$bin/standin" drive -entries "${entries#,}" -admins "${admins#,}" || status=$?
echo
echo "decision lines:"
cat "$dir"/*-* | grep '"decision":true' | cut -c1-230
echo "$(cat "$dir"/*-* | grep -c '"decision":true') decisions"
if [ "$status" -ne 0 ]; then
	cat "$dir"/*-* | grep -v '"decision":true' >&2
fi
exit "$status"
