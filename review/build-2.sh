#!/bin/sh
# Prepares the stand-ins of the second review (review/6 to review/10), after the build of the deploy file. They are
# plain Python without dependencies, so there is nothing to compile: they are checked, and so is what they start.
set -e
cd "$(dirname "$0")/.."
[ -s target/lilaclever.jar ] || { echo "target/lilaclever.jar is missing: run the build of deploy/balancer.toml first"; exit 1; }
for file in review/lib2/*.py review/[6-9]/play.py review/10/play.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
java -jar target/lilaclever.jar version
