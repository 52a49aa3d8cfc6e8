#pragma once

// Internal header of Runtime: conversions between Endpoint and the endpoint
// types of Asio.

#include "Common/Common.h"

#include <boost/asio/ip/address_v4.hpp>

namespace pistachio {

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint) {
  return {boost::asio::ip::address_v4(endpoint.Address), endpoint.Port};
}

template <typename AsioEndpoint>
Endpoint fromAsio(const AsioEndpoint &endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace pistachio
