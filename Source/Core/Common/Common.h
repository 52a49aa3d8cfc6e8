#pragma once

/// Public header of the Common library: identifiers, time, endpoints, error
/// reports for input files (findings), text helpers, terms of routes and
/// hashing.

#include "Common/Endpoint.h"
#include "Common/Finding.h"
#include "Common/Hash.h"
#include "Common/Ids.h"
#include "Common/RouteTerms.h"
#include "Common/Text.h"
#include "Common/Time.h"
