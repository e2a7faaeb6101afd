package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.RuntimeClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The administration API of VMs that run on loopback. */
public class AdminApiTest {
  private static final long SEED = 12;

  private DemoSystem demo;
  private AdminApiClient admin;

  /** Starts the demo system. */
  @BeforeClass
  public void start() throws RadishpostException {
    demo = new DemoSystem(new RuntimeClock(), new java.util.Random(SEED));
    demo.start(0);
    admin = new AdminApiClient(demo.adminAddresses().getFirst(), DemoSystem.DEMO_TOKEN);
  }

  /** Stops the demo system. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    demo.stop().block();
  }

  @Test
  public void statusDescribesTheVm() throws Exception {
    HttpResponse<String> response = admin.get("/v1/status");
    assertEquals(response.statusCode(), 200, response.body());
    JsonNode status = admin.parseJson(response);
    assertEquals(status.path("vm").asText(), "vm-1");
    assertTrue(status.path("ready").asBoolean(), response.body());
    assertTrue(status.path("config").path("version").asLong() > 0, response.body());
  }

  @Test
  public void publishIsAppliedAndRepeatedOperationGetsSameResponse() throws Exception {
    JsonNode current = admin.parseJson(admin.get("/v1/gateways/demo"));
    ObjectNode manifest = (ObjectNode) current.path("manifest");
    manifest.put("baseVersion", current.path("version").asLong());
    HttpResponse<String> first =
        admin.send("PUT", "/v1/gateways/demo?operation=p1", manifest.toString());
    assertEquals(first.statusCode(), 200, first.body());
    HttpResponse<String> repeated =
        admin.send("PUT", "/v1/gateways/demo?operation=p1", manifest.toString());
    assertEquals(repeated.body(), first.body());
    long version = admin.parseJson(first).path("version").asLong();
    assertEquals(admin.parseJson(admin.get("/v1/gateways/demo")).path("version").asLong(), version);
    HttpResponse<String> stale =
        admin.send("PUT", "/v1/gateways/demo?operation=p2", manifest.toString());
    assertEquals(stale.statusCode(), 409, stale.body());
    assertTrue(stale.body().contains("baseVersion"), stale.body());
  }

  @Test
  public void zoneIsTakenOutOfServiceAndBackIn() throws Exception {
    String out = "{\"scope\":\"zone\",\"name\":\"kozep-2\",\"out\":true}";
    HttpResponse<String> response = admin.send("POST", "/v1/service?operation=z1", out);
    assertEquals(response.statusCode(), 200, response.body());
    assertTrue(admin.get("/v1/status").body().contains("\"name\":\"kozep-2\""));
    String in = "{\"scope\":\"zone\",\"name\":\"kozep-2\",\"out\":false}";
    assertEquals(admin.send("POST", "/v1/service?operation=z2", in).statusCode(), 200);
    assertFalse(admin.get("/v1/status").body().contains("\"name\":\"kozep-2\""));
  }

  @Test
  public void callsWithHomeRegionsLeaveNoRequestDataInTimelines() throws Exception {
    JsonNode current = admin.parseJson(admin.get("/v1/gateways/demo"));
    ObjectNode manifest = (ObjectNode) current.path("manifest");
    manifest.put("baseVersion", current.path("version").asLong());
    manifest
        .path("routes")
        .forEach(route -> ((ObjectNode) route).putArray("homeRegions").add("kozep"));
    HttpResponse<String> published =
        admin.send("PUT", "/v1/gateways/demo?operation=home", manifest.toString());
    assertEquals(published.statusCode(), 200, published.body());
    for (Endpoint edge : demo.edgeAddresses()) {
      String path = "/archive/secretword?q=secretword";
      HttpResponse<String> response = new AdminApiClient(edge, "secretword").get(path);
      assertTrue(response.body().contains("secretword"), response.body());
    }
    for (Endpoint adminAddress : demo.adminAddresses()) {
      AdminApiClient client = new AdminApiClient(adminAddress, DemoSystem.DEMO_TOKEN);
      String events = client.get("/v1/timeline").body();
      assertTrue(events.contains("STARTED"), events);
      assertFalse(events.contains("secretword"), events);
      assertFalse(client.get("/v1/metrics").body().contains("secretword"));
    }
  }
}
