package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.RuntimeClock;
import org.testng.annotations.Test;

/** The demo system serves calls as soon as its start returns. */
public class DemoSystemTest {
  private static final int STARTS = 8;
  private static final byte[] FIRST_REQUEST =
      "GET /archive/2026 HTTP/1.1\r\nHost: demo\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  @Test
  public void firstCallsAfterStartAreServed() throws Exception {
    for (int seed = 0; seed < STARTS; seed++) {
      DemoSystem demo = new DemoSystem(new RuntimeClock(), new Random(seed));
      try {
        demo.start(0);
        for (Endpoint edge : demo.edgeAddresses()) {
          assertEquals(firstStatusLine(edge), "HTTP/1.1 200 OK", "start " + seed + ", " + edge);
        }
      } finally {
        demo.stop().block();
      }
    }
  }

  /**
   * Sends a request over a plain socket. An HTTP client takes so long to initialize that it could
   * miss a failure directly after the start.
   */
  private static String firstStatusLine(Endpoint edge) throws IOException {
    try (Socket socket = new Socket(edge.ip(), edge.port())) {
      socket.getOutputStream().write(FIRST_REQUEST);
      return new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
          .readLine();
    }
  }
}
