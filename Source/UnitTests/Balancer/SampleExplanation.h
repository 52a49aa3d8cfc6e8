#pragma once

#include <string_view>

namespace pistachio {

/// An answer to GET /explain. The test of the balancer checks that the balancer
/// writes it, and the test of pistachioctl how it is shown.
inline constexpr std::string_view SampleExplanation =
    R"({"flow":{"caller":"1.2.3.4:5","service":"1.2.3.4:1"},"revision":7,)"
    R"("placement":"least-loaded",)"
    R"("action":"forward","reason":"placed","agent":"10.0.0.1:7000",)"
    R"("nextAgent":"10.0.0.2:7000",)"
    R"("share":{"service":"a","weight":3,"totalWeight":4},"holder":null,)"
    R"("isSearching":false,"upstreamCount":9,"upstreams":[)"
    R"({"id":1,"agent":"10.0.0.1:7000","dataCentre":"x","isLocal":true,)"
    R"("tier":0,"state":"eligible","stateEndsInMs":0,"placedSinceReport":1,)"
    R"("load":2.5E-1,)"
    R"("report":{"busyFlows":1,"flows":9,"slots":4,"ageMs":120}},)"
    R"({"id":2,"agent":"10.0.0.2:7000","dataCentre":"y","isLocal":false,)"
    R"("tier":0,"state":"eligible","stateEndsInMs":0,"placedSinceReport":0,)"
    R"("load":1.25E0,"report":null},)"
    R"({"id":3,"agent":"10.0.0.3:7000","dataCentre":"x","isLocal":true,)"
    R"("tier":null,"state":"silent","stateEndsInMs":800,)"
    R"("placedSinceReport":0,"load":null,"report":null}]})";

} // namespace pistachio
