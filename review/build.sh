#!/bin/sh
# Builds the stand-ins that the cases start. Needs the build of the deploy file first; adds nothing to it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -cp target/birchusher.jar -d target/review review/standin/*.java
