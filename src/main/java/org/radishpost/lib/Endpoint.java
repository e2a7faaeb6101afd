package org.radishpost.lib;

import java.util.regex.Pattern;

/**
 * An IP address and a port. Host names are not supported.
 *
 * @param ip an IPv4 address in dotted decimal form, or an IPv6 address without brackets
 * @param port the port, 0 to 65535; 0 stands for any free port
 */
public record Endpoint(String ip, int port) implements Comparable<Endpoint> {
  private static final Pattern IPV4 =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
  private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F]{0,4}(:[0-9a-fA-F]{0,4}){2,7}");
  private static final int MAX_PORT = 65_535;

  /** Checks the address and the port. */
  public Endpoint {
    if (!IPV4.matcher(ip).matches() && !IPV6.matcher(ip).matches()) {
      throw new IllegalArgumentException("'" + ip + "' is not an IP address");
    }
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port " + port + " is not in the range 0 to " + MAX_PORT);
    }
  }

  /**
   * Parses the form {@code 127.0.0.1:8080} or {@code [::1]:8080}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
    }
    String ip = text.substring(0, colon);
    if (ip.startsWith("[") && ip.endsWith("]")) {
      ip = ip.substring(1, ip.length() - 1);
    }
    return new Endpoint(ip, Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public int compareTo(Endpoint other) {
    int byIp = ip.compareTo(other.ip);
    return byIp != 0 ? byIp : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
  }
}
