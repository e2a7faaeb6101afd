package org.radishpost.node;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the scenarios. */
@CucumberOptions(
    features = "classpath:org/radishpost/scenarios",
    glue = "org.radishpost.node",
    plugin = "summary")
public class ScenarioTest extends AbstractTestNGCucumberTests {}
