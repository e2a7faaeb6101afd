package org.radishpost.pgm;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Creates the paths of gateways in the administration API. */
final class GatewayPaths {
  private GatewayPaths() {}

  static String of(String gateway) {
    String encoded = URLEncoder.encode(gateway, StandardCharsets.UTF_8).replace("+", "%20");
    return "/v1/gateways/" + encoded;
  }
}
