package org.radishpost.routing;

import static org.radishpost.routing.RoutingFixture.configuration;
import static org.radishpost.routing.RoutingFixture.gateway;
import static org.radishpost.routing.RoutingFixture.route;
import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.radishpost.manifest.ServiceSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which route matches a request when routes of one or several gateways overlap. */
public class RouteTablesTest {
  private static final ServiceSpec SERVICE = RoutingFixture.service(1);
  private final RouteTable table =
      RouteTables.of(
          configuration(
              Set.of(),
              gateway(
                  "a",
                  SERVICE,
                  route("first", "", "/a/b", "GET"),
                  route("second", "", "/a/b/c", "GET"),
                  route("post", "", "/a/b/c", "POST"),
                  route("rest", "", "/", "GET")),
              gateway(
                  "b",
                  SERVICE,
                  route("host", "press.example", "/a", "GET"),
                  route("deep", "", "/a/b/c/d", "GET"),
                  route("same", "", "/a/b", "GET"))));

  /** Host, method and path of a request, and the expected gateway and route. */
  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {"x", "GET", "/a/b", "a/first"},
      {"x", "GET", "/a/b/c", "a/first"},
      {"x", "POST", "/a/b/c/", "a/post"},
      {"x", "GET", "/a/bc", "a/rest"},
      {"x", "GET", "/", "a/rest"},
      {"x", "GET", "/a/b/c/d/e", "b/deep"},
      {"press.example", "GET", "/a/b/c/d/e", "b/host"},
      {"press.example", "GET", "/b", "a/rest"},
      {"x", "DELETE", "/a/b", "none"},
    };
  }

  @Test(dataProvider = "requests")
  public void requestMatchesExpectedRoute(
      String host, String method, String path, String expected) {
    String found =
        table
            .find(host, method, path)
            .map(match -> match.manifest().manifest().gateway() + "/" + match.route().name())
            .orElse("none");
    assertEquals(found, expected);
  }

  @Test
  public void routeIsFoundByItsNames() {
    assertEquals(table.byName("b", "host").orElseThrow().service(), SERVICE);
    assertEquals(table.byName("b", "first").isPresent(), false);
  }
}
