#!/usr/bin/env bash
# Prints the folder of the go command, and installs Go first where the machine has none: Debian's package downloads the
# release that go.work names from the Go module proxy.
set -eu
cd "$(dirname "$0")/.."

if command -v go >/dev/null 2>&1; then
  dirname "$(command -v go)"
  exit
fi
version=$(awk '$1 == "go" {print $2}' go.work)
case $(uname -m) in
  x86_64) arch=amd64 ;;
  aarch64) arch=arm64 ;;
  *) echo "no Go toolchain is known for $(uname -m): install Go $version" >&2; exit 1 ;;
esac
target=${XDG_CACHE_HOME:-$HOME/.cache}/verbenaledge/go$version
if [ ! -x "$target/bin/go" ]; then
  # Debian's go is kept off the PATH: it is too old for this code.
  find_debian_go() { find /usr/lib -maxdepth 1 -name 'go-*' 2>/dev/null | sort -V | tail -1; }
  [ -n "$(find_debian_go)" ] || { apt-get update && apt-get install -y --no-install-recommends golang-1.19-go golang-1.19-src; } >&2
  module=golang.org/toolchain@v0.0.1-go$version.linux-$arch
  export GOWORK=off # it can't read the workspace file
  "$(find_debian_go)/bin/go" mod download "$module" >&2
  mkdir -p "$(dirname "$target")"
  cp -r "$("$(find_debian_go)/bin/go" env GOMODCACHE)/$module" "$target.new"
  chmod -R u+w "$target.new"
  chmod +x "$target.new"/bin/* "$target.new"/pkg/tool/*/*
  mv "$target.new" "$target"
fi
echo "$target/bin"
