#!/bin/sh
# Prints what an open stream costs an entry host in resident memory, on loopback.
# Usage: examples/stream-memory.sh [STREAMS]; build with `cargo build --release` first.
set -eu
streams=${1:-500}
bin=$(dirname "$0")/../target/release
folder=$(mktemp -d)
trap 'kill $pids 2>/dev/null; rm -rf "$folder"' EXIT
pids=""
address() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$1"; }
wait_for() { while [ ! -s "$1" ]; do sleep 0.1; done; }

"$bin/reelreel" dev platform > "$folder/platform" & pids="$pids $!"
wait_for "$folder/platform"
platform=$(address "$folder/platform" address)
"$bin/reelreel" dev engine --id 1 --streams 2000 --platform "$platform" > "$folder/engine" &
pids="$pids $!"
"$bin/reelreel" settings publish --platform "$platform" "$(dirname "$0")/dev.toml" > /dev/null
cat > "$folder/host.toml" <<SETTINGS
host = 1
hall = 1
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
platform = "$platform"
SETTINGS
"$bin/reelreeld" "$folder/host.toml" > "$folder/host" 2> /dev/null &
host=$!
pids="$pids $host"
wait_for "$folder/host"
callers=$(address "$folder/host" callers)
ask() {
    curl -sN "http://$callers/v1/completions" -d '{"model":"north/brakes","max_tokens":'"$1"',"stream":true}'
}
until ask 1 | grep -q DONE; do sleep 0.5; done
resident() { awk '/VmRSS/ { print $2 }' "/proc/$host/status"; }
before=$(resident)
i=0
while [ "$i" -lt "$streams" ]; do
    ask 1000 > /dev/null & pids="$pids $!"
    i=$((i + 1))
done
sleep 8
after=$(resident)
open=$(curl -s "http://$(address "$folder/host" operators)/metrics" | awk '/requests_open/ && !/#/ { print $2 }')
echo "streams open: $open; resident before: $before kB; after: $after kB; each: $(((after - before) / open)) kB"
