package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.radishpost.http.LateServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a change is only reported as accepted after a whole response. */
public class AdminClientTest {
  private static Optional<Long> acceptedVersion(String body) throws Exception {
    LateServer.Answer answer = new LateServer.Answer(LateServer.response("200 OK", body), "");
    try (LateServer vm = new LateServer(head -> answer)) {
      return new AdminClient(vm.address(), "token")
          .sendChange(HttpMethod.PUT, "/v1/change", new byte[0])
          .map(response -> response.json().path("version").asLong());
    }
  }

  @Test
  public void wholeResponseIsReturned() throws Exception {
    assertEquals(acceptedVersion("{\"version\":7}"), Optional.of(7L));
  }

  /** Returns beginnings of a response. */
  @DataProvider
  public Object[][] cutBodies() {
    return new Object[][] {{""}, {"{"}, {"{\"version\":"}, {"{\"version\":7"}};
  }

  /** A change whose outcome is unknown would be reported as accepted at version 0. */
  @Test(dataProvider = "cutBodies")
  public void cutResponseIsNoResponse(String body) throws Exception {
    assertEquals(acceptedVersion(body), Optional.empty());
  }
}
