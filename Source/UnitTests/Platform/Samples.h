#pragma once

#include <string>

namespace pistachio::platform {

inline const std::string RoutingBody =
    R"({"version":12,"routes":[)"
    R"({"name":"r-1","host":"10.9.0.1","path_prefix":"/8443/","kind":"safe",)"
    R"("timeout_ms":1500,"slo_ms":100,"priority":2,"max_attempts":2,)"
    R"("traffic_split":[{"service":"alpha","weight":70},)"
    R"({"service":"beta","weight":30}]},)"
    R"({"name":"r-2","host":"10.9.0.2","path_prefix":"/443/","kind":"unsafe",)"
    R"("timeout_ms":2000,"slo_ms":100,"priority":1,"service":"beta"}],)"
    R"("services":[{"name":"alpha","health_path":"/h","max_conns":2000,)"
    R"("cold_s":2.0,"cold_per_s":2.5},)"
    R"({"name":"beta","health_path":"/h","max_conns":50000,)"
    R"("cold_s":2.0,"cold_per_s":0.0}],"limits":{"idle_timeout_ms":15000}})";

inline const std::string ReportBody =
    R"({"service":"alpha","address":"10.1.0.9:8080","zone":"z-a",)"
    R"("version":"v1","slots":2,"state":"ready","cold_left_ms":40,)"
    R"("seq":4,"born":1700000000000,"later":{"x":[1]}})";

} // namespace pistachio::platform
