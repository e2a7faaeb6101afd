package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests which requests a connection may carry. */
public class ConnectionHistoryTest {
  private boolean tryAdd(ConnectionHistory connection, HttpMethod method, String id) {
    return connection.tryAdd(method, Optional.of(id));
  }

  @Test
  public void connectionCarriesEachIdOnce() {
    ConnectionHistory connection = new ConnectionHistory();
    assertTrue(tryAdd(connection, HttpMethod.GET, "a"));
    assertTrue(tryAdd(connection, HttpMethod.POST, "b"));
    assertFalse(tryAdd(connection, HttpMethod.GET, "a"));
    assertFalse(tryAdd(connection, HttpMethod.PUT, "b"));
    assertEquals(connection.requestCount(), 2);
  }

  @Test
  public void connectionNeverForgetsAnId() {
    ConnectionHistory connection = new ConnectionHistory();
    for (int i = 0; i < ConnectionHistory.MAX_IDS; i++) {
      assertTrue(tryAdd(connection, HttpMethod.GET, "id-" + i));
    }
    for (int i = 0; i < ConnectionHistory.MAX_IDS; i++) {
      assertFalse(tryAdd(connection, HttpMethod.GET, "id-" + i));
    }
    assertFalse(tryAdd(connection, HttpMethod.GET, "another"));
  }

  @Test
  public void requestsWithoutIdAreNotLimited() {
    ConnectionHistory connection = new ConnectionHistory();
    for (int i = 0; i < 2 * ConnectionHistory.MAX_IDS; i++) {
      assertTrue(connection.tryAdd(HttpMethod.GET, Optional.empty()));
    }
    assertTrue(tryAdd(connection, HttpMethod.GET, "a"));
  }

  @Test
  public void headRequestHasConnectionOfItsOwn() {
    ConnectionHistory used = new ConnectionHistory();
    assertTrue(tryAdd(used, HttpMethod.GET, "a"));
    assertFalse(tryAdd(used, HttpMethod.HEAD, "b"));
    ConnectionHistory fresh = new ConnectionHistory();
    assertTrue(tryAdd(fresh, HttpMethod.HEAD, "b"));
    assertFalse(tryAdd(fresh, HttpMethod.GET, "c"));
    assertFalse(fresh.tryAdd(HttpMethod.GET, Optional.empty()));
  }

  @Test
  public void historyBelongsToConnection() {
    EmbeddedChannel channel = new EmbeddedChannel();
    assertSame(ConnectionHistory.of(channel), ConnectionHistory.of(channel));
    channel.finishAndReleaseAll();
  }
}
