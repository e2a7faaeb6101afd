package org.radishpost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.radishpost.config.Configuration;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RequestKind;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.routing.PoolMap;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.SettingsCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the examples have the sizes of the two deployments and pass every check. */
public class ExamplesTest {
  private static final Path EXAMPLES = Path.of("examples");

  /** Example, slots, connections, and the minimum and maximum number of targets of a service. */
  @DataProvider
  public Object[][] examples() {
    return new Object[][] {{"szaklap", 2, 240, 12, 14}, {"brennan", 3, 220, 12, 12}};
  }

  @Test(dataProvider = "examples")
  public void manifestHasTheSizeOfTheDeployment(
      String name, int slots, int connections, int minTargets, int maxTargets) throws Exception {
    Manifest manifest = manifest(name);
    assertEquals(new ManifestValidator().faults(manifest), List.of());
    assertEquals(manifest.services().size(), 4);
    for (ServiceSpec service : manifest.services()) {
      int targets = service.targets().size();
      assertTrue(targets >= minTargets && targets <= maxTargets, service.name() + ": " + targets);
      service.targets().forEach(target -> assertEquals(target.slots(), slots));
      service.targets().forEach(target -> assertEquals(target.connections(), connections));
    }
    Set<RequestKind> kinds =
        manifest.routes().stream().map(route -> route.kind()).collect(Collectors.toSet());
    assertEquals(kinds, EnumSet.allOf(RequestKind.class));
    Configuration configuration =
        new Configuration(
            1, Map.of(manifest.gateway(), new VersionedManifest(1, manifest)), Set.of());
    assertEquals(PoolMap.of(configuration).pools().size(), 4 * 6);
  }

  @Test(dataProvider = "examples")
  public void settingsOfAllVmsAreConsistent(
      String name, int slots, int connections, int minTargets, int maxTargets) throws Exception {
    List<NodeSettings> vmSettings = settings(name);
    assertEquals(vmSettings.size(), 16);
    for (RouteSpec route : manifest(name).routes()) {
      vmSettings.forEach(
          vm -> assertTrue(vm.shutdown().drainLimit().compareTo(route.deadline()) >= 0));
    }
    assertEquals(vmSettings.stream().map(NodeSettings::vm).distinct().count(), 16);
    Set<Endpoint> addresses = new HashSet<>();
    vmSettings.forEach(vm -> addresses.addAll(List.of(vm.edge(), vm.hop(), vm.link(), vm.admin())));
    assertEquals(addresses.size(), 4 * 16);
    Set<Place> served = new HashSet<>();
    for (ServiceSpec service : manifest(name).services()) {
      service.targets().forEach(target -> served.add(target.place()));
    }
    Set<Place> places = vmSettings.stream().map(NodeSettings::place).collect(Collectors.toSet());
    assertEquals(places, served);
  }

  private static Manifest manifest(String name) throws IOException, RadishpostException {
    Path file = EXAMPLES.resolve(name).resolve("manifest.json");
    return new ManifestCodec().decode(Files.readAllBytes(file));
  }

  private static List<NodeSettings> settings(String name) throws IOException, RadishpostException {
    List<NodeSettings> vmSettings = new ArrayList<>();
    try (Stream<Path> files = Files.list(EXAMPLES.resolve(name).resolve("settings"))) {
      for (Path file : files.sorted().toList()) {
        vmSettings.add(new SettingsCodec().decode(Files.readAllBytes(file)));
      }
    }
    return vmSettings;
  }
}
