#!/bin/sh
# Builds the stand-ins that the scripts start, from the sources beside this file. The
# build of the deploy file comes first.
set -e
cd "$(dirname "$0")"
go build -o ../target/review-standin .
