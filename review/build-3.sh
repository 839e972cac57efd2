#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. The gateways come from the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-3/standin-3 .
