use super::encoding::{delta_response, state_of_the_world_response, DiscoveryMessage};
use crate::resources::type_url;
use crate::stream::{PlanVersion, ProxyRequest, Resource, ResourceType, Update, UpdateEntry};
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::google::rpc::Status;
use prost::Message;
use std::sync::Arc;

fn update(resource_type: ResourceType, ttl: Option<f64>) -> Update {
    let entry = |name: &str, heartbeat| {
        let resource = Resource { name: name.into(), version: 0xab12, body: vec![1, 2, 3] };
        UpdateEntry { resource: Arc::new(resource), heartbeat }
    };
    Update {
        resource_type,
        version: PlanVersion { epoch: 17, number: 4 },
        nonce: "3.5".into(),
        entries: vec![entry("one", false), entry("two", ttl.is_some())],
        removed: vec!["old".into()],
        ttl,
    }
}

fn hex(message: &impl Message) -> String {
    message.encode_to_vec().iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn responses_match_the_recorded_bytes() {
    let name = "puffinladder 0";
    let responses = [
        hex(&state_of_the_world_response(&update(ResourceType::Cluster, None), name)),
        hex(&state_of_the_world_response(&update(ResourceType::Endpoints, Some(1.75)), name)),
        hex(&delta_response(&update(ResourceType::Routes, Some(0.5)), name)),
    ];
    assert_eq!(responses, [PLAIN, LEASED, DELTA]);
}

const PLAIN: &str = concat!(
    "0a0431372e34123a0a33747970652e676f6f676c65617069732e636f6d2f656e766f792e636f6e6669672e636c7573746572",
    "2e76332e436c75737465721203010203123a0a33747970652e676f6f676c65617069732e636f6d2f656e766f792e636f6e66",
    "69672e636c75737465722e76332e436c757374657212030102032233747970652e676f6f676c65617069732e636f6d2f656e",
    "766f792e636f6e6669672e636c75737465722e76332e436c75737465722a03332e3532100a0e70756666696e6c6164646572",
    "2030",
);
const LEASED: &str = concat!(
    "0a0431372e34129b010a37747970652e676f6f676c65617069732e636f6d2f656e766f792e736572766963652e646973636f",
    "766572792e76332e5265736f7572636512600a046162313212490a42747970652e676f6f676c65617069732e636f6d2f656e",
    "766f792e636f6e6669672e656e64706f696e742e76332e436c75737465724c6f616441737369676e6d656e7412030102031a",
    "036f6e65320808011080afd0e50212500a37747970652e676f6f676c65617069732e636f6d2f656e766f792e736572766963",
    "652e646973636f766572792e76332e5265736f7572636512150a04616231321a0374776f320808011080afd0e50222427479",
    "70652e676f6f676c65617069732e636f6d2f656e766f792e636f6e6669672e656e64706f696e742e76332e436c7573746572",
    "4c6f616441737369676e6d656e742a03332e3532100a0e70756666696e6c61646465722030",
);
const DELTA: &str = concat!(
    "0a0431372e3412580a046162313212430a3c747970652e676f6f676c65617069732e636f6d2f656e766f792e636f6e666967",
    "2e726f7574652e76332e526f757465436f6e66696775726174696f6e12030102031a036f6e6532061080cab5ee0112130a04",
    "616231321a0374776f32061080cab5ee01223c747970652e676f6f676c65617069732e636f6d2f656e766f792e636f6e6669",
    "672e726f7574652e76332e526f757465436f6e66696775726174696f6e2a03332e3532036f6c643a100a0e70756666696e6c",
    "61646465722030",
);

#[test]
fn decodes_requests_of_both_protocols() {
    let type_url = type_url(ResourceType::Endpoints);
    let error_detail = Some(Status { message: "bad weight".into(), ..Status::default() });
    let request = DiscoveryRequest {
        resource_names: vec!["servers".into()],
        type_url: type_url.clone(),
        response_nonce: "3.5".into(),
        error_detail: error_detail.clone(),
        ..Default::default()
    };
    let expected = ProxyRequest {
        resource_type: Some(ResourceType::Endpoints),
        nonce: "3.5".into(),
        error: Some("bad weight".into()),
        names: vec!["servers".into()],
        ..ProxyRequest::default()
    };
    assert_eq!(request.into_request(), expected);
    let request = DeltaDiscoveryRequest {
        resource_names_subscribe: vec!["servers".into()],
        resource_names_unsubscribe: vec!["old".into()],
        initial_resource_versions: [("servers".to_owned(), "ab12".to_owned())].into(),
        type_url,
        response_nonce: "3.5".into(),
        error_detail,
        ..Default::default()
    };
    let initial_versions = [("servers".to_owned(), "ab12".to_owned())].into();
    assert_eq!(
        request.into_request(),
        ProxyRequest { removed_names: vec!["old".into()], initial_versions, ..expected }
    );
}
