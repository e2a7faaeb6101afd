package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.radishpost.http.LateServer;
import org.radishpost.http.MalformedHeads;
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

  /** Returns responses to a change whose head is malformed. */
  @DataProvider
  public Object[][] malformedHeads() {
    return MalformedHeads.rows(LateServer.response("200 OK", "{\"version\":7}"));
  }

  @Test(dataProvider = "malformedHeads")
  public void responseWithMalformedHeadIsNoResponse(String bytes) throws Exception {
    try (LateServer vm = new LateServer(head -> LateServer.Answer.last(bytes))) {
      AdminClient client = new AdminClient(vm.address(), "token");
      assertEquals(client.sendChange(HttpMethod.PUT, "/v1/change", new byte[0]), Optional.empty());
    }
  }

  /** Returns what follows the response to a change, and the version that is reported. */
  @DataProvider
  public Object[][] bytesBehind() {
    return new Object[][] {
      {"", Optional.of(7L)},
      {LateServer.response("200 OK", "{\"version\":8}"), Optional.empty()},
      {LateServer.response("503 Busy", ""), Optional.empty()},
    };
  }

  @Test(dataProvider = "bytesBehind")
  public void responseBeforeSecondResponseIsNoResponse(String behind, Optional<Long> version)
      throws Exception {
    String whole = LateServer.responseWithoutLength("200 OK", "{\"version\":7}");
    try (LateServer vm = new LateServer(head -> LateServer.Answer.last(whole + behind))) {
      assertEquals(
          new AdminClient(vm.address(), "token")
              .sendChange(HttpMethod.PUT, "/v1/change", new byte[0])
              .map(response -> response.json().path("version").asLong()),
          version);
    }
  }
}
