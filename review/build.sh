#!/bin/sh
# Builds the stand-ins of all cases into target/review. Needs only the JDK; target/ must hold the build of the deploy file
# when a case runs.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/src/review/*.java
