#include <cstring>
#include <iostream>

#include "control_bench.h"
#include "decision_bench.h"
#include "gateway_bench.h"
#include "http_bench.h"
#include "policy_bench.h"
#include "region_bench.h"

//! Usage: bth-bench decisions|sizes|http|policies|control|region|gateway.
int main(int argc, char** argv)
{
    const char* what = argc > 1 ? argv[1] : "";
    if (std::strcmp(what, "decisions") == 0) {
        buckthornhill::bench::run_decision_bench();
    } else if (std::strcmp(what, "sizes") == 0) {
        buckthornhill::bench::run_size_bench();
    } else if (std::strcmp(what, "http") == 0) {
        buckthornhill::bench::run_http_bench();
    } else if (std::strcmp(what, "policies") == 0) {
        buckthornhill::bench::run_policy_bench();
    } else if (std::strcmp(what, "control") == 0) {
        buckthornhill::bench::run_control_bench();
    } else if (std::strcmp(what, "region") == 0) {
        buckthornhill::bench::run_region_bench();
    } else if (std::strcmp(what, "gateway") == 0) {
        buckthornhill::bench::run_gateway_bench();
    } else {
        std::cerr << "usage: bth-bench decisions|sizes|http|policies|control|region|gateway\n";
        return 2;
    }
    return 0;
}
