use super::*;

#[test]
fn nested_json_and_pairs_give_the_same_deployment() {
    let json = serde_json::json!({
        "balancers": 3,
        "categories": [
            {"name": "look up", "idempotency": "safe", "objective-us": 750000, "hard-limit-us": 4000000},
            {"name": "load", "idempotency": "keyed", "group": "zone", "window-us": 12000000,
             "confined-to": ["room a"], "hard-limit-us": 20000000},
        ],
        "zones": ["room a", "room,b"],
        "shapes": ["std"],
        "family-info": {"parallelism": [1, 2], "is-load": [false, true], "cores-by-kind": [8],
                        "grants-count": true},
        "limits": {"max-attempts": 3, "conn-idle-us": 30000000, "multiplex": 100},
        "tenants": [{"name": "town hall", "quota-per-s": 3.5}],
    });
    let pairs = "balancers=3 categories.count=2 categories.0.name=look_up categories.0.idempotency=safe \
        categories.0.objective-us=750000 categories.0.hard-limit-us=4000000 categories.1.name=load \
        categories.1.idempotency=keyed categories.1.group=zone categories.1.window-us=12000000 \
        categories.1.confined-to=room_a categories.1.hard-limit-us=20000000 zones=room_a,room_b shapes=std \
        family-info.parallelism=1,2 family-info.is-load=false,true family-info.cores-by-kind=8 \
        family-info.grants-count=true limits.max-attempts=3 limits.conn-idle-us=30000000 \
        limits.multiplex=100 tenants.count=1 tenants.0.name=town_hall";
    let [from_json, from_pairs] = [Settings::from_json(&json), Settings::from_pairs(pairs)].map(|settings| {
        let NamedDeployment { deployment, names } = read_deployment(&settings).unwrap();
        assert_eq!(names.classes, ["look_up", "load"]);
        assert_eq!(names.tenants, ["town_hall"]);
        assert_eq!(names.zones, ["room_a", "room_b"]);
        assert_eq!(settings.longest_request().unwrap(), Some(20.0));
        format!("{deployment:?} {:?}", settings.connection_limits().unwrap())
    });
    assert_eq!(from_json, from_pairs);
    assert!(from_json.contains("allowed_zones: Some([0])") && from_json.contains("idle_after: 30.0"));
}

#[test]
fn errors_name_the_path_of_the_setting() {
    let error_of = |json: serde_json::Value| match read_deployment(&Settings::from_json(&json)) {
        Err(error) => error.to_string(),
        Ok(_) => panic!("{json} was accepted"),
    };
    let message = error_of(serde_json::json!({"rules": {"cold-from": "soon"}}));
    assert_eq!(message, "setting rules.cold-from: expected a number, got \"soon\"");
    let message = error_of(serde_json::json!({"family-info": {"parallelism": ["x"]}}));
    assert_eq!(message, "setting family-info.parallelism: expected numbers, got \"x\"");
}
