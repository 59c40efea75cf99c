#pragma once

#include <string>

namespace appleramp::samples {

// Sample documents in the platform's formats.

inline const std::string configuration = R"({"version":7,"routes":[
{"name":"r-1","host":"Ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,
"traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max_attempts":2,"public":false,"sticky":true,
"resumable":true,"gap_target_ms":120},
{"name":"r-2","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"service":"wuno96b","max_attempts":1,"public":true,"sticky":false},
{"name":"r-3","host":"ficu95.example","prefix":"/cufi504/","kind":"safe","timeout_ms":1500,"service":"wuno96b"}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":288,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":28.0,
"engine":{"slots":12,"link_mbps":180000.0,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,"read_per_s":61400.0,"chunk":512,"sets":4,
"experts":64,"placements":5,"spare":2,"expert_mb":2500.0,"expert_share":0.85}},
{"name":"wuno96b","health_path":"/health","max_conns":110,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ct","anfq"],"priority":1}]})";

inline const std::string registryRow = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"taichung","version":"v1","slots":12,
"state":"ready","cold_left_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq_no":4})";

inline const std::string report = R"({"stage":"both","group":{"name":"g0-0","epoch":2,"rank":3,"state":"open"},"size":16,"busy":false,
"seq_no":5,"num_waiting":1,"num_running":6,"pace":1.5,"step":42,"map":8,"prepared":9,"armed":{"version":9,"step":50},"held":50})";

inline const std::string lists
    = R"({"epoch":1,"map":{"version":0,"experts":[[0,16],[1,17]]},"prepared":{"version":5,"experts":[[0,2],[1]]}})";

} // namespace appleramp::samples
