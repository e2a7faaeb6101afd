package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests which requests a connection may carry. */
public class ConnectionHistoryTest {
  private static boolean tryAdd(ConnectionHistory connection, String id) {
    return connection.tryAdd(Optional.of(id));
  }

  @Test
  public void connectionCarriesEachIdOnce() {
    ConnectionHistory connection = new ConnectionHistory();
    assertTrue(tryAdd(connection, "a"));
    assertTrue(tryAdd(connection, "b"));
    assertFalse(tryAdd(connection, "a"));
    assertFalse(tryAdd(connection, "b"));
    assertEquals(connection.requestCount(), 2);
  }

  @Test
  public void connectionNeverForgetsAnId() {
    ConnectionHistory connection = new ConnectionHistory();
    for (int i = 0; i < ConnectionHistory.MAX_IDS; i++) {
      assertTrue(tryAdd(connection, "id-" + i));
    }
    for (int i = 0; i < ConnectionHistory.MAX_IDS; i++) {
      assertFalse(tryAdd(connection, "id-" + i));
    }
    assertFalse(tryAdd(connection, "another"));
  }

  @Test
  public void requestsWithoutIdAreNotLimited() {
    ConnectionHistory connection = new ConnectionHistory();
    for (int i = 0; i < 2 * ConnectionHistory.MAX_IDS; i++) {
      assertTrue(connection.tryAdd(Optional.empty()));
    }
    assertTrue(tryAdd(connection, "a"));
  }

  @Test
  public void historyBelongsToConnection() {
    EmbeddedChannel channel = new EmbeddedChannel();
    assertSame(ConnectionHistory.of(channel), ConnectionHistory.of(channel));
    channel.finishAndReleaseAll();
  }
}
